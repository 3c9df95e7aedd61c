package loader

import (
	"bytes"
	"fmt"
	"time"
)

// ReferencePage returns the reference page of the settings in Markdown.
func ReferencePage() []byte {
	var b bytes.Buffer
	b.WriteString("# Settings\n\nGenerated from the table in `loader/table.go`; do not edit.\n\n")
	b.WriteString("`jujubegated` reads its settings from a TOML file. Names are case-sensitive. ")
	b.WriteString("All problems of a file are reported together, and the daemon doesn't start with any.\n")
	section := "none"
	for _, d := range table {
		if d.section != section {
			section = d.section
			writeHeader(&b, section)
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", d.key, d.typeName(), d.rule.text, defaultText(d.def), d.help)
	}
	return b.Bytes()
}

func writeHeader(b *bytes.Buffer, section string) {
	title := "Top level"
	if section != "" {
		title = "`[" + section + "]`"
	}
	fmt.Fprintf(b, "\n## %s\n\n| name | type | values | default | meaning |\n| --- | --- | --- | --- | --- |\n", title)
}

// defaultText returns the default as TOML.
func defaultText(def any) string {
	switch v := def.(type) {
	case nil:
		return "required"
	case string, time.Duration:
		return fmt.Sprintf("`\"%v\"`", v)
	case []string:
		return "`[]`"
	default:
		return fmt.Sprintf("`%v`", v)
	}
}
