package gossip

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
)

var errInvalidMAC = errors.New("datagram has no valid MAC for the fleet's key")

// appendMAC appends an HMAC-SHA256 to a datagram. Without a key it returns the datagram
// unchanged.
func appendMAC(key, datagram []byte) []byte {
	if len(key) == 0 {
		return datagram
	}
	return append(datagram, computeMAC(key, datagram)...)
}

// verifyMAC verifies the MAC of a datagram and returns the datagram without it. Without
// a key it returns the datagram unchanged.
func verifyMAC(key, datagram []byte) ([]byte, error) {
	if len(key) == 0 {
		return datagram, nil
	}
	payloadLen := len(datagram) - sha256.Size
	if payloadLen < 0 || !hmac.Equal(datagram[payloadLen:], computeMAC(key, datagram[:payloadLen])) {
		return nil, errInvalidMAC
	}
	return datagram[:payloadLen], nil
}

func computeMAC(key, datagram []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(datagram)
	return h.Sum(nil)
}
