package intake

// shape is what a scan of raw JSON counts. Every count is an upper bound.
type shape struct {
	objects int // opened by a brace
	arrays  int // opened by a bracket
	values  int // separated by commas
	keys    int // followed by a colon
	depth   int // of nested objects and arrays
}

// scan counts the parts of raw JSON. It builds nothing and accepts any bytes.
func scan(raw []byte) shape {
	var sh shape
	depth := 0
	quoted := false
	for at := 0; at < len(raw); at++ {
		ch := raw[at]
		if quoted {
			switch ch {
			case '\\':
				at++
			case '"':
				quoted = false
			}
			continue
		}
		switch ch {
		case '"':
			quoted = true
		case '{':
			sh.objects++
			depth++
		case '[':
			sh.arrays++
			depth++
		case '}', ']':
			depth--
		case ',':
			sh.values++
		case ':':
			sh.keys++
		}
		sh.depth = max(sh.depth, depth)
	}
	return sh
}

// The memory that decoding takes, apart from the text itself.
const (
	// objectBytes is for an object: a step as it is decoded and as it is
	// dispatched, while the list grows.
	objectBytes = 640
	// valueBytes is for an element of a list while the list grows.
	valueBytes = 24
	keyBytes   = 16
	arrayBytes = 64
	// maxDepth is far above the depth of a job, which is 4.
	maxDepth = 100
)

// decodedBytes returns an upper bound of the memory that decoding takes.
func (sh shape) decodedBytes(raw int) int64 {
	return int64(raw) + int64(sh.objects)*objectBytes + int64(sh.arrays)*arrayBytes + int64(sh.values)*valueBytes + int64(sh.keys)*keyBytes
}
