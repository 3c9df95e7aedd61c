package jujubegate

import "runtime/debug"

// Release returns the module version that the program was built from. For a
// build without a version it returns "devel" and, if known, the VCS revision.
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
