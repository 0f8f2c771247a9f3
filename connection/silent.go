package connection

// Silent drops the HTTP library's messages about other ends' broken connections.
type Silent struct{}

// Printf implements fasthttp.Logger.
func (Silent) Printf(string, ...any) {}
