package connection

// Quiet drops the HTTP library's messages about other ends' broken connections.
type Quiet struct{}

// Printf implements fasthttp.Logger.
func (Quiet) Printf(string, ...any) {}
