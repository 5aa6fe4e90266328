package httpwire

import "strings"

// IsField reports whether name and value make a valid header field.
func IsField(name, value string) bool { return IsToken(name) && indexControl(value) < 0 }

// IsToken reports whether the name of a field is valid: not empty, and only of the characters that
// HTTP allows there.
func IsToken[T string | []byte](name T) bool {
	const others = "!#$%&'*+-.^_`|~"
	for i := 0; i < len(name); i++ {
		b := name[i]
		alphanumeric := b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9'
		if !alphanumeric && strings.IndexByte(others, b) < 0 {
			return false
		}
	}
	return len(name) > 0
}

// indexControl returns the index of the first control byte that no line may hold, or -1.
func indexControl[T string | []byte](line T) int {
	for i := 0; i < len(line); i++ {
		if b := line[i]; b < ' ' && b != '\t' || b == 0x7f {
			return i
		}
	}
	return -1
}
