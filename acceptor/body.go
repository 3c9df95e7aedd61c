package acceptor

import "bytes"

// chunkPhase is the part of a chunked body that comes next.
type chunkPhase int

const (
	chunkSize chunkPhase = iota
	chunkData
	chunkDataEnd
	chunkTrailer
)

// body follows a body to its end, so that the bytes of the next request are told from it.
// The zero value is no body.
type body struct {
	// left is the number of bytes left of a body with a length, or of the current chunk.
	left    int64
	chunked bool
	phase   chunkPhase
	// size is the size of the chunk as far as it has been read; it ends at the first
	// character that is no digit.
	size      int64
	sizeEnded bool
	// lineBytes counts the bytes of the current line, but for the carriage return.
	lineBytes int
}

// newBody returns a body of a length; a negative one means chunks.
func newBody(length int64) body {
	if length < 0 {
		return body{chunked: true}
	}
	return body{left: length}
}

// ended reports whether nothing of the body is left.
func (b *body) ended() bool { return !b.chunked && b.left == 0 }

// wanted returns how many of some bytes may be read without reading beyond the body. Of a
// chunked body, more may have to be given back.
func (b *body) wanted(n int) int {
	if b.chunked {
		return n
	}
	return int(min(int64(n), b.left))
}

// consume follows the bytes of a block and returns how many of them belong to the body.
func (b *body) consume(block []byte) int {
	if !b.chunked {
		n := int(min(int64(len(block)), b.left))
		b.left -= int64(n)
		return n
	}
	for i := 0; i < len(block); {
		i += b.consumeChunked(block[i:])
		if !b.chunked {
			return i
		}
	}
	return len(block)
}

// consumeChunked follows the bytes up to the end of the current part, and returns how many
// they are. At the end of the body, chunked becomes false.
func (b *body) consumeChunked(block []byte) int {
	if b.phase == chunkData {
		n := int(min(int64(len(block)), b.left))
		if b.left -= int64(n); b.left == 0 {
			b.phase = chunkDataEnd
		}
		return n
	}
	i := bytes.IndexByte(block, '\n')
	line := block
	if i >= 0 {
		line = block[:i]
	}
	b.readLine(line)
	if i < 0 {
		return len(block)
	}
	b.endLine()
	return i + 1
}

// readLine follows a part of a line.
func (b *body) readLine(part []byte) {
	for _, c := range part {
		if c == '\r' {
			continue
		}
		b.lineBytes++
		if b.phase != chunkSize || b.sizeEnded {
			continue
		}
		digit := hexDigit(c)
		if digit < 0 || b.size > maxChunkBytes {
			// The server rejects a size that is too large or not a number.
			b.sizeEnded = true
			continue
		}
		b.size = b.size<<4 | int64(digit)
	}
}

// maxChunkBytes bounds the size of a chunk, against overflows.
const maxChunkBytes = 1 << 40

// endLine goes on to what follows a line.
func (b *body) endLine() {
	switch {
	case b.phase == chunkSize && b.size > 0:
		b.phase, b.left = chunkData, b.size
	case b.phase == chunkSize:
		b.phase = chunkTrailer
	case b.phase == chunkDataEnd:
		b.phase = chunkSize
	case b.phase == chunkTrailer && b.lineBytes == 0:
		b.chunked = false
	}
	b.size, b.sizeEnded, b.lineBytes = 0, false, 0
}

// hexDigit returns the value of a hexadecimal digit, or -1.
func hexDigit(c byte) int {
	switch {
	case '0' <= c && c <= '9':
		return int(c - '0')
	case 'a' <= c && c <= 'f':
		return int(c-'a') + 10
	case 'A' <= c && c <= 'F':
		return int(c-'A') + 10
	}
	return -1
}
