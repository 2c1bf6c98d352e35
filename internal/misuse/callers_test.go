package misuse

import (
	"fmt"
	"strings"
	"testing"
)

const (
	// bodyCrowd is the number of callers that send bodies, of bodyBytes each.
	bodyCrowd = 200
	bodyBytes = 500 << 10
	// fieldCrowd is the number of callers that send heads or trailers of very many fields.
	fieldCrowd = 300
	// pipelineCrowd is the number of callers that send pipelineDepth requests ahead.
	pipelineCrowd = 100
	pipelineDepth = 200
	// idleCrowd is the number of connections that send nothing or a part of a head: more
	// than the machine has descriptors.
	idleCrowd = 700
)

// withLength returns a body with its length in the head, of which the last byte is missing
// if cut is set.
func (g *gateway) withLength(host, path string, size int, cut bool) string {
	sent := size
	if cut {
		sent--
	}
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", g.head("POST", host, path), size, strings.Repeat("b", sent))
}

// inChunks returns a body in chunks of chunkBytes, without the last one if cut is set.
func (g *gateway) inChunks(host, path string, size, chunkBytes int, cut bool) string {
	var text strings.Builder
	text.WriteString(g.head("POST", host, path) + "Transfer-Encoding: chunked\r\n\r\n")
	chunk := fmt.Sprintf("%x\r\n%s\r\n", chunkBytes, strings.Repeat("c", chunkBytes))
	for range size / chunkBytes {
		text.WriteString(chunk)
	}
	if !cut {
		text.WriteString("0\r\n\r\n")
	}
	return text.String()
}

// TestBodiesCutShort guards against many bodies of legal size that stop just short of their
// end and stay open: each was held whole until its route's timeout.
func TestBodiesCutShort(t *testing.T) {
	g := startGateway(t, 0)
	g.joinAll(bodyCrowd, g.callers, 0, func() string { return g.withLength(unsafeHost, "/a", bodyBytes, true) })
	g.check()
}

// TestChunkedBodiesCutShort is TestBodiesCutShort with bodies in chunks without an end, whose
// buffers grow.
func TestChunkedBodiesCutShort(t *testing.T) {
	g := startGateway(t, 0)
	g.joinAll(bodyCrowd, g.callers, 0, func() string { return g.inChunks(unsafeHost, "/a", bodyBytes, 1000, true) })
	g.check()
}

// TestBodiesInSmallPieces is TestBodiesCutShort with bodies that arrive in many small parts.
func TestBodiesInSmallPieces(t *testing.T) {
	g := startGateway(t, 0)
	g.joinAll(bodyCrowd, g.callers, 700, func() string { return g.withLength(safeHost, "/a", bodyBytes, true) })
	g.check()
}

// TestWholeBodiesAtOnce guards against many bodies of legal size that are complete and arrive
// at the same time.
func TestWholeBodiesAtOnce(t *testing.T) {
	g := startGateway(t, 0)
	g.joinAll(bodyCrowd, g.callers, 0, func() string { return g.withLength(unsafeHost, "/a", bodyBytes, false) })
	g.check()
}

// TestWholeBodiesAtABusyTarget is TestWholeBodiesAtOnce with a target that keeps each request.
func TestWholeBodiesAtABusyTarget(t *testing.T) {
	g := startGateway(t, 0)
	g.joinAll(bodyCrowd, g.callers, 0, func() string { return g.withLength(unsafeHost, "/held/a", bodyBytes, false) })
	g.check()
}

// TestStreamedBodiesCutShort is TestBodiesCutShort with bodies that are too large to be
// buffered: targets get the beginning of each.
func TestStreamedBodiesCutShort(t *testing.T) {
	g := startGateway(t, 0)
	g.joinAll(bodyCrowd, g.callers, 0, func() string { return g.withLength(unsafeHost, "/a", bodyLimit, true) })
	g.check()
}

// TestBodiesFarOverTheLimit guards against bodies beyond the limit, by their length and in
// chunks.
func TestBodiesFarOverTheLimit(t *testing.T) {
	g := startGateway(t, 0)
	g.joinAll(bodyCrowd/4, g.callers, 0, func() string { return g.withLength(unsafeHost, "/a", 4*bodyLimit, true) })
	g.joinAll(bodyCrowd/4, g.callers, 0, func() string { return g.inChunks(unsafeHost, "/a", 4*bodyLimit, 1<<16, true) })
	g.check()
}

// fields returns a number of bytes of short fields with different names.
func fields(bytes int) string {
	var text strings.Builder
	for i := 0; text.Len() < bytes-8; i++ {
		fmt.Fprintf(&text, "%x:\r\n", i+0xa00)
	}
	return text.String()
}

// TestHeadsOfManyFields guards against heads of legal size with thousands of short fields,
// whose maps take many times their size, held by a body without its end.
func TestHeadsOfManyFields(t *testing.T) {
	g := startGateway(t, 0)
	many := fields(headLimit - 400)
	g.joinAll(fieldCrowd, g.callers, 0, func() string {
		return g.head("POST", unsafeHost, "/a") + many + "Content-Length: 10\r\n\r\n123456789"
	})
	g.check()
}

// TestTrailersAndChunkExtensions guards against trailers of very many fields and against
// extensions of chunks, neither of which counts as a part of the body.
func TestTrailersAndChunkExtensions(t *testing.T) {
	g := startGateway(t, 0)
	trailers := fields(8 * headLimit)
	g.joinAll(fieldCrowd, g.callers, 0, func() string {
		return g.head("POST", unsafeHost, "/a") + "Transfer-Encoding: chunked\r\n\r\n1\r\nc\r\n0\r\n" + trailers
	})
	extended := strings.Repeat("1;"+strings.Repeat("e", 3000)+"\r\nc\r\n", 50)
	g.joinAll(fieldCrowd, g.callers, 0, func() string {
		return g.head("POST", unsafeHost, "/a") + "Transfer-Encoding: chunked\r\n\r\n" + extended
	})
	g.check()
}

// TestPipelinedWithoutReading guards against callers that send many requests ahead and read
// no answer.
func TestPipelinedWithoutReading(t *testing.T) {
	g := startGateway(t, 0)
	g.joinAll(pipelineCrowd, g.callers, 0, func() string {
		var text strings.Builder
		for range pipelineDepth {
			text.WriteString(g.head("GET", safeHost, "/large/a") + "\r\n")
		}
		return text.String()
	})
	g.check()
}

// TestAnswersNotRead guards against callers that stop to read in the middle of a long answer,
// each of which holds a connection to a target too.
func TestAnswersNotRead(t *testing.T) {
	g := startGateway(t, 0)
	g.joinAll(fieldCrowd, g.callers, 0, func() string { return g.head("GET", safeHost, "/huge/a") + "\r\n" })
	g.check()
}

// TestIdleConnectionsBeyondDescriptors guards against more connections than the process may
// open descriptors: Accept fails for the want of one.
func TestIdleConnectionsBeyondDescriptors(t *testing.T) {
	g := startGateway(t, descriptors)
	g.joinAll(idleCrowd, g.callers, 0, func() string { return "" })
	g.check()
}

// TestHeadsCutShort guards against connections that stop within a head.
func TestHeadsCutShort(t *testing.T) {
	g := startGateway(t, 0)
	many := fields(headLimit - 400)
	g.joinAll(idleCrowd, g.callers, 0, func() string { return g.head("GET", safeHost, "/a") + many })
	g.check()
}

// TestPathWithoutRoute guards against the crowds at a path that no route matches.
func TestPathWithoutRoute(t *testing.T) {
	g := startGateway(t, 0)
	g.joinAll(bodyCrowd, g.callers, 0, func() string { return g.withLength("none.example", "/none", bodyBytes, true) })
	g.joinAll(pipelineCrowd, g.callers, 0, func() string {
		return strings.Repeat(g.head("GET", "none.example", "/none")+"\r\n", pipelineDepth)
	})
	g.joinAll(fieldCrowd, g.callers, 0, func() string { return g.inChunks("none.example", "/none", 64<<10, 100, true) })
	g.check()
}

// TestReadinessAddress guards against the crowds at the address of the readiness check.
func TestReadinessAddress(t *testing.T) {
	checkAuxiliaryAddress(t, "/readiness", func(g *gateway) string { return g.ready })
}

// TestMetricsAddress guards against the crowds at the address of the metrics.
func TestMetricsAddress(t *testing.T) {
	checkAuxiliaryAddress(t, "/metrics", func(g *gateway) string { return g.metrics })
}

// checkAuxiliaryAddress sends heads of very many fields, bodies without their end, requests
// ahead and idle connections to an address other than that for callers.
func checkAuxiliaryAddress(t *testing.T, path string, addr func(*gateway) string) {
	g := startGateway(t, 0)
	many := fields(900_000)
	g.joinAll(bodyCrowd/2, addr(g), 0, func() string { return g.head("GET", "h", path) + many })
	g.joinAll(bodyCrowd, addr(g), 0, func() string { return g.withLength("h", path, bodyBytes, true) })
	g.joinAll(pipelineCrowd, addr(g), 0, func() string {
		return strings.Repeat(g.head("GET", "h", path)+"\r\n", pipelineDepth)
	})
	g.joinAll(idleCrowd, addr(g), 0, func() string { return "" })
	g.check()
}
