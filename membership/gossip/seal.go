package gossip

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
)

var errForeign = errors.New("datagram is not sealed with the key of the fleet")

// seal appends a message authentication code to a datagram. Without a key the
// datagram stays as it is.
func seal(key, datagram []byte) []byte {
	if len(key) == 0 {
		return datagram
	}
	return append(datagram, code(key, datagram)...)
}

// open checks and removes the code of a datagram.
func open(key, datagram []byte) ([]byte, error) {
	if len(key) == 0 {
		return datagram, nil
	}
	length := len(datagram) - sha256.Size
	if length < 0 || !hmac.Equal(datagram[length:], code(key, datagram[:length])) {
		return nil, errForeign
	}
	return datagram[:length], nil
}

func code(key, datagram []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(datagram)
	return h.Sum(nil)
}
