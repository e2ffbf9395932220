package fleetcontrol

// Kill ends the process without notice to the group, as a SIGKILL does.
func (p *Process) Kill() {
	_ = p.peers.Close()
	_ = p.control.Close()
	p.group.Stop()
}
