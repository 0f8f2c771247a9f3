package connection

import (
	"bufio"
	"bytes"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// ErrMalformedHead marks errors of answers whose heads have a status that no answer has, or a
// blank or control byte in the name of a field.
var ErrMalformedHead = errors.New("the head of the answer is malformed")

const (
	statusDigits = 3
	maxStatus    = 599
)

// headCheck checks the head of an answer, and those of interim answers before it, as they
// arrive. It is stricter than the HTTP library, which takes status 000 for 200 and drops
// blanks after the names of fields, also of those that frame the body.
type headCheck struct {
	line     []byte // the beginning of a line that is incomplete
	inFields bool   // the status line is complete
	interim  bool   // the head is that of an interim answer
	done     bool
	err      error
}

// ReadHead decodes the head that a text begins with. It returns ErrMalformedHead if that is
// not the head of a final answer that Client.Do would use.
func ReadHead(text []byte, header *fasthttp.ResponseHeader) error {
	var headCheck headCheck
	if err := headCheck.observe(text); err != nil {
		return err
	}
	if !headCheck.done {
		return errors.Wrap(ErrMalformedHead, "no final answer")
	}
	return header.Read(bufio.NewReaderSize(bytes.NewReader(text), len(text)))
}

// observe checks the next part of the answer. Once it has returned an error, it returns the
// same one for further parts.
func (headCheck *headCheck) observe(text []byte) error {
	for len(text) > 0 && !headCheck.done && headCheck.err == nil {
		line, rest, complete := bytes.Cut(text, []byte("\n"))
		if !complete {
			headCheck.line = append(headCheck.line, line...)
			break
		}
		if len(headCheck.line) > 0 {
			line = append(headCheck.line, line...)
			headCheck.line = nil
		}
		headCheck.err = headCheck.endLine(bytes.TrimSuffix(line, []byte("\r")))
		text = rest
	}
	return headCheck.err
}

func (headCheck *headCheck) endLine(line []byte) error {
	isBlank := len(line) == 0
	switch {
	case !headCheck.inFields && !isBlank:
		headCheck.inFields = true
		return headCheck.checkStatus(line)
	case headCheck.inFields && isBlank:
		headCheck.inFields, headCheck.done = false, !headCheck.interim
	case headCheck.inFields:
		return checkName(line)
	}
	return nil
}

// checkStatus checks a status line.
func (headCheck *headCheck) checkStatus(line []byte) error {
	_, rest, _ := bytes.Cut(line, []byte(" "))
	text, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	status, err := strconv.Atoi(string(text))
	isKnown := status >= fasthttp.StatusContinue && status <= maxStatus
	if err != nil || len(text) != statusDigits || !isKnown || status == fasthttp.StatusSwitchingProtocols { // never requested
		return errors.Wrapf(ErrMalformedHead, "status %.16q", text)
	}
	headCheck.interim = status < fasthttp.StatusOK
	return nil
}

// checkName checks the name of a field in its line. A line that begins with a blank may be
// the rest of the value before it, which servers must not send and gateways may reject
// (RFC 9112, section 5.2), or a field whose name begins with one.
func checkName(line []byte) error {
	name, _, _ := bytes.Cut(line, []byte(":"))
	if bytes.ContainsFunc(name, isBlankOrControl) {
		return errors.Wrapf(ErrMalformedHead, "field name %.32q", name)
	}
	return nil
}

func isBlankOrControl(char rune) bool {
	return char <= ' ' || char == '\x7f'
}
