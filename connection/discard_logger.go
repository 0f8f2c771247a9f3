package connection

// Silent discards the HTTP library's log messages about connections that peers
// closed.
type Silent struct{}

// Printf implements fasthttp.Logger.
func (Silent) Printf(string, ...any) {}
