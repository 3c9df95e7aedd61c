package loader

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2/unstable"
)

// convert returns the value as the Go type of the setting. The error message
// follows the name of the setting, as in "Log.Level must be a string".
func convert(d definition, n *unstable.Node) (any, error) {
	typeErr := fmt.Errorf("must be %s, not %s", withArticle(d.typeName()), withArticle(kindName(n.Kind)))
	text := string(n.Data)
	switch d.typeName() {
	case "boolean":
		if n.Kind != unstable.Bool {
			return nil, typeErr
		}
		return text == "true", nil
	case "integer":
		if n.Kind != unstable.Integer {
			return nil, typeErr
		}
		return parseInteger(text)
	case "number":
		if n.Kind != unstable.Integer && n.Kind != unstable.Float {
			return nil, typeErr
		}
		return parseNumber(text, n.Kind)
	case "duration":
		if n.Kind != unstable.String {
			return nil, typeErr
		}
		return parseDuration(text)
	case "list of strings":
		if n.Kind != unstable.Array {
			return nil, typeErr
		}
		return parseStrings(n)
	default:
		if n.Kind != unstable.String {
			return nil, typeErr
		}
		return text, nil
	}
}

func parseInteger(text string) (int, error) {
	// Base 0 accepts the prefixes and underscores that TOML allows.
	n, err := strconv.ParseInt(strings.TrimPrefix(text, "+"), 0, strconv.IntSize)
	if err != nil {
		return 0, fmt.Errorf("is %s, which is too large", text)
	}
	return int(n), nil
}

func parseNumber(text string, kind unstable.Kind) (float64, error) {
	if kind == unstable.Integer {
		n, err := parseInteger(text)
		return float64(n), err
	}
	f, err := strconv.ParseFloat(strings.ReplaceAll(text, "_", ""), 64)
	if err != nil {
		return 0, fmt.Errorf("is %s, which is too large", text)
	}
	return f, nil
}

func parseDuration(text string) (time.Duration, error) {
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0, fmt.Errorf("is %q, not a duration like 500ms or 3s", text)
	}
	return d, nil
}

func parseStrings(n *unstable.Node) ([]string, error) {
	values := []string{}
	for elements := n.Children(); elements.Next(); {
		e := elements.Node()
		if e.Kind != unstable.String {
			return nil, fmt.Errorf("must hold strings, not %s", withArticle(kindName(e.Kind)))
		}
		values = append(values, string(e.Data))
	}
	return values, nil
}

// kindName returns the name of a TOML type for findings.
func kindName(k unstable.Kind) string {
	switch k {
	case unstable.String:
		return "string"
	case unstable.Bool:
		return "boolean"
	case unstable.Integer:
		return "integer"
	case unstable.Float:
		return "float"
	case unstable.Array:
		return "list"
	case unstable.InlineTable:
		return "table"
	default:
		return "date or time"
	}
}

func withArticle(noun string) string {
	if noun == "integer" {
		return "an " + noun
	}
	return "a " + noun
}
