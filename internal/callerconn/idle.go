package callerconn

import "net/http"

// reserveDivisor: if fewer connections than this part of a listener's limit are free,
// responses end their connections, so that idle connections never take up all of them.
// A caller that is told so loses no request, unlike one whose idle connection is
// closed.
const reserveDivisor = 8

// endIfShort makes the response end its connection if the listener's connections are
// short. A connection is kept for its caller only if it was among the first
// 1 - 1/reserveDivisor of the limit when its last request began, so there are never
// more idle ones than that.
func (g *Guard) endIfShort(c *conn, w http.ResponseWriter) {
	if !g.short(c.listener) {
		return
	}
	g.count(c.listener, notKept)
	w.Header().Set("Connection", "close")
	c.unreadBody.Store(true) // a further request may have arrived; closing at once would reset the connection
}

// short reports whether few connections of the listener are free.
func (g *Guard) short(l *Listener) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return l.open > l.limit-l.limit/reserveDivisor
}
