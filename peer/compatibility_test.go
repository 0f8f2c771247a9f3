package peer

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bramleygw/bramleygw/peer/peerpb"
)

// landedMessages holds messages as the build that is in service encodes them: VMs of that
// build and of this one run side by side while they are replaced.
const landedMessages = "testdata/0.2"

// Guards against a field whose number, type or meaning changes while VMs of two builds
// exchange messages: this build must read each field of a landed message, and send the same
// bytes for the same content.
func TestLandedMessagesAreReadAndWritten(t *testing.T) {
	sent := time.Unix(1_700_000_000, 0)
	for _, test := range []struct {
		file     string
		message  proto.Message
		recode   func(message proto.Message) proto.Message
		leastLen int
	}{
		{"heartbeat.bin", &peerpb.Beat{}, func(message proto.Message) proto.Message {
			return encodeHeartbeat(decodeHeartbeat(message.(*peerpb.Beat)))
		}, 300},
		{"notice.bin", &peerpb.Notice{}, func(message proto.Message) proto.Message {
			return encodeNotice(decodeNotice(message.(*peerpb.Notice)))
		}, 80},
		{"origin_query.bin", &peerpb.FindOriginRequest{}, func(message proto.Message) proto.Message {
			query := decodeOriginQuery(message.(*peerpb.FindOriginRequest), sent)
			query.Since = sent.Add(-10 * time.Second) // each hop makes the window longer
			return encodeOriginQuery(query, sent)
		}, 10},
		{"origin_answer.bin", &peerpb.FindOriginReply{}, func(message proto.Message) proto.Message {
			return encodeOriginAnswer(decodeOriginAnswer(message.(*peerpb.FindOriginReply), sent), sent)
		}, 10},
	} {
		landed, err := os.ReadFile(filepath.Join(landedMessages, test.file))
		if err != nil {
			t.Fatal(err)
		}
		if len(landed) < test.leastLen {
			t.Errorf("%s: got %d bytes recorded, want %d or more", test.file, len(landed), test.leastLen)
		}
		if err := proto.Unmarshal(landed, test.message); err != nil {
			t.Errorf("%s: got %v, want a message that this build reads", test.file, err)
			continue
		}
		got, err := proto.MarshalOptions{Deterministic: true}.Marshal(test.recode(test.message))
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(got, landed) {
			t.Errorf("%s: got %x from this build, want the landed %x", test.file, got, landed)
		}
	}
}
