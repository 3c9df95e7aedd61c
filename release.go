package jujubegate

import "runtime/debug"

// Release returns the module version that the program was built from, or
// "devel" and the revision if there is none.
func Release() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "devel"
	}
	if v := info.Main.Version; v != "" && v != "(devel)" {
		return v
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return "devel " + s.Value
		}
	}
	return "devel"
}
