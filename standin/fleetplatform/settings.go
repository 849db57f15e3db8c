package fleetplatform

import (
	"fmt"
	"net"
	"os"
	"sync"
	"time"
)

// DefaultMaxLease is the longest lease of the executors unless a test sets another.
const DefaultMaxLease = 3 * time.Second

const settingsFormat = `
node-name = %q
zone = "z1"
ip = "127.0.0.1"
[bind-addrs]
frontend = %q
ready = %q
[limits]
cpu-share = 0.4
memory-mb = 284
[bounds]
grace-s = 6
hold-max-ms = %d
lease-ms = 1000
status_s = 120
maintenance-s = 1
migrate-s = 1
[platform]
address = %q
[cloud-api]
address = %q
duty-per-s = 64.0
`

// SettingsFile returns the settings file that the platform provides to a host,
// without the settings that do not matter to tests. platformAddress is the
// address of the store and the machine list.
func SettingsFile(nodeName, frontendAddress, readyAddress, platformAddress string) string {
	return SettingsFileWithMaxLease(nodeName, frontendAddress, readyAddress, platformAddress, DefaultMaxLease)
}

// SettingsFileWithMaxLease returns the settings file of a host for a fleet whose
// executors grant leases of at most maxLease.
func SettingsFileWithMaxLease(nodeName, frontendAddress, readyAddress, platformAddress string, maxLease time.Duration) string {
	return fmt.Sprintf(settingsFormat, nodeName, frontendAddress, readyAddress, maxLease.Milliseconds(), platformAddress, platformAddress)
}

// FreeAddress returns an address with a port chosen by the operating system, on a
// loopback IP that only this process uses. On a shared IP, another process could
// take the port before it is used. No other listener of this process gets it.
func FreeAddress() (string, error) {
	l, err := listenOnOwnIP()
	if err != nil {
		return "", err
	}
	address := l.Addr().String()
	givenAddresses.Store(address, true)
	return address, l.Close()
}

// givenAddresses has the addresses that FreeAddress has returned. The kernel may choose
// their ports again.
var givenAddresses sync.Map

// listenOnOwnIP listens on a loopback IP that only this process uses, with a port chosen
// by the operating system that FreeAddress has not returned.
func listenOnOwnIP() (net.Listener, error) {
	pid := os.Getpid()
	for {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 64+pid>>16&63, pid>>8&255, 1+pid&127))
		if err != nil {
			return nil, err
		}
		if _, given := givenAddresses.Load(l.Addr().String()); !given {
			return l, nil
		}
		if err := l.Close(); err != nil {
			return nil, err
		}
	}
}
