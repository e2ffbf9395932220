package callerconn

// TakePeerBody reserves n bytes of the memory for bodies for a request that another
// process of the fleet has forwarded. If too little is left, requests of callers whose
// bodies do not arrive lose theirs. A nil guard has no limit.
func (g *Guard) TakePeerBody(n int64) bool {
	if g == nil || g.Bodies.Take(n) {
		return true
	}
	return g.Bodies.Fits(n) && g.makeRoom(nil, forBody, g.Bodies, n)
}

// GivePeerBody returns n bytes that TakePeerBody reserved.
func (g *Guard) GivePeerBody(n int64) {
	if g != nil {
		g.Bodies.Give(n)
	}
}
