package workspace

import "strings"

// ParseAuthorization returns the credential in the Authorization fields of a request. A field is a scheme, whose letter
// case does not count, and a key, separated by one or more spaces (RFC 9110, 11.1 and 11.4). A request with another scheme
// or an empty field has no key. Several fields, or a scheme without a key, are malformed.
func ParseAuthorization(fields []string, scheme string) Credential {
	if len(fields) > 1 {
		return Malformed{}
	}
	if len(fields) == 0 || fields[0] == "" {
		return None{}
	}
	name, rest, _ := strings.Cut(fields[0], " ")
	if !strings.EqualFold(name, scheme) {
		return None{}
	}
	key := strings.Trim(rest, " \t")
	if key == "" {
		return Malformed{}
	}
	return Key(key)
}
