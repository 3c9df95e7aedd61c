package loader

import (
	"cmp"
	"fmt"
	"net"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// rule restricts the values of a setting.
type rule struct {
	// text describes the values on the reference page.
	text string
	// check returns an error whose message follows the name of the setting.
	check func(value any) error
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// simpleName allows names that need no quoting in logs, keys and addresses.
func simpleName() rule {
	return rule{"1 to 64 letters, digits, `.`, `_`, `-`", func(value any) error {
		if !namePattern.MatchString(value.(string)) {
			return fmt.Errorf("is %q, not 1 to 64 letters, digits, '.', '_' or '-' that start with a letter or digit", value)
		}
		return nil
	}}
}

// inRange allows values from minimum to maximum inclusive.
func inRange[T cmp.Ordered](minimum, maximum T) rule {
	return rule{fmt.Sprintf("%v to %v", minimum, maximum), func(value any) error {
		v := value.(T)
		// NaN fails both comparisons and is rejected.
		if v >= minimum && v <= maximum {
			return nil
		}
		return fmt.Errorf("is %v, not between %v and %v", v, minimum, maximum)
	}}
}

func oneOf(values ...string) rule {
	text := strings.Join(values, ", ")
	return rule{text, func(value any) error {
		if !slices.Contains(values, value.(string)) {
			return fmt.Errorf("is %q, not one of %s", value, text)
		}
		return nil
	}}
}

// reachableAddress allows an address that other instances can connect to: an IP
// address that is neither unspecified nor multicast, and a port.
func reachableAddress() rule {
	return rule{"IP address and port", func(value any) error {
		a, err := netip.ParseAddrPort(value.(string))
		switch {
		case err != nil:
			return fmt.Errorf("is %q, not an IP address and port", value)
		case a.Addr().IsUnspecified() || a.Addr().IsMulticast():
			return fmt.Errorf("is %q, which other instances can't connect to", value)
		case a.Port() == 0:
			return fmt.Errorf("is %q, whose port is 0", value)
		}
		return nil
	}}
}

// addresses allows a list of at least minCount distinct host:port addresses.
func addresses(minCount int) rule {
	text := "list of host:port"
	if minCount > 0 {
		text += fmt.Sprintf(", at least %d", minCount)
	}
	return rule{text, func(value any) error {
		all := value.([]string)
		if len(all) < minCount {
			return fmt.Errorf("has %d addresses, not at least %d", len(all), minCount)
		}
		for i, a := range all {
			if err := hostPort(a); err != nil {
				return fmt.Errorf("holds %q: %w", a, err)
			}
			if slices.Contains(all[:i], a) {
				return fmt.Errorf("holds %q twice", a)
			}
		}
		return nil
	}}
}

func hostPort(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return fmt.Errorf("not a host:port")
	}
	if host == "" || strings.ContainsAny(host, " /") {
		return fmt.Errorf("the host is missing or invalid")
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return fmt.Errorf("the port is not a number from 1 to 65535")
	}
	return nil
}
