package connection

// DiscardLogger discards the HTTP library's log messages about connections that
// peers closed.
type DiscardLogger struct{}

// Printf implements fasthttp.Logger.
func (DiscardLogger) Printf(string, ...any) {}
