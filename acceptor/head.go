package acceptor

import "bytes"

const (
	// maxEmptyBytes bounds the empty lines before a request, which some clients send after
	// a body.
	maxEmptyBytes = 8
	// uncountedHeadBytes is by how much the bytes of a head may exceed the limit: optional
	// white space and the empty line at the end do not count as headers.
	uncountedHeadBytes = 4 << 10
	// fieldBytes is the memory that one line of a head takes once it is parsed: the string
	// headers and the entry of the map, both in the request and in its forwarded copy.
	fieldBytes = 256
)

// headScanner finds the end of a head in the blocks in which it arrives.
type headScanner struct {
	// bytes and lines are those of the head so far.
	bytes, lines int
	// empty counts the bytes of empty lines before the head.
	empty int
	// lineBytes are the bytes of the current line so far, and endsCR reports whether the
	// last one is a carriage return.
	lineBytes int
	endsCR    bool
}

// started reports whether a byte of a head has arrived.
func (s *headScanner) started() bool { return s.bytes > 0 }

// skipEmpty returns the number of bytes at the beginning of a block that belong to empty
// lines before the head.
func (s *headScanner) skipEmpty(block []byte) int {
	if s.started() {
		return 0
	}
	n := 0
	for n < len(block) && (block[n] == '\r' || block[n] == '\n') {
		n++
	}
	s.empty += n
	return n
}

// scan reads the next block of a head, and returns the position after its end if the block
// contains it.
func (s *headScanner) scan(block []byte) (end int, complete bool) {
	for end < len(block) {
		i := bytes.IndexByte(block[end:], '\n')
		if i < 0 {
			s.add(block[end:])
			return len(block), false
		}
		s.add(block[end : end+i])
		empty := s.lineBytes == 0 || s.lineBytes == 1 && s.endsCR
		s.bytes++
		s.lineBytes, s.endsCR = 0, false
		end += i + 1
		if !empty {
			s.lines++
		} else if s.lines > 0 {
			return end, true
		}
	}
	return end, false
}

// add counts bytes of the current line.
func (s *headScanner) add(part []byte) {
	if len(part) == 0 {
		return
	}
	s.bytes += len(part)
	s.lineBytes += len(part)
	s.endsCR = part[len(part)-1] == '\r'
}

// parsedBytes returns the memory that the head takes once it is parsed.
func (s *headScanner) parsedBytes() int64 {
	return int64(s.bytes) + int64(s.lines)*fieldBytes
}
