package relay

import "github.com/bramleygw/bramleygw/event"

// maxLoggedResumes is the maximum length, in bytes, of the logged ID of an earlier
// request: it is text of the caller, and log lines are bounded.
const maxLoggedResumes = 64

// resumesFields returns the log field that names the earlier request whose stream
// this request takes up. There is none if the caller named no request.
func (request *Request) resumesFields() []event.Field {
	if request.Resumes == "" {
		return nil
	}
	return []event.Field{event.F("resumes", request.Resumes[:min(len(request.Resumes), maxLoggedResumes)])}
}
