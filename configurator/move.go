package configurator

// Running reports whether the move is neither done nor taken back.
func (m MoveSpec) Running() bool { return m.State == Proving || m.State == Shifting }
