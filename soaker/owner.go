package soaker

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"net"
	"net/netip"
	"os"
	"strings"
)

// ownerOf returns which of the processes has opened a connection, by its process ID, or
// zero if none of them has. remote is the end of the connection at the process.
func ownerOf(remote, local net.Addr, pids []int) int {
	inode := socketInode(remote, local)
	if inode == "" {
		return 0
	}
	for _, pid := range pids {
		if hasSocket(pid, inode) {
			return pid
		}
	}
	return 0
}

// socketInode returns the inode of a socket, as the kernel lists it, or "".
func socketInode(local, remote net.Addr) string {
	list, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer list.Close()
	wanted := [2]string{kernelAddress(local), kernelAddress(remote)}
	for lines := bufio.NewScanner(list); lines.Scan(); {
		// Fields are the number, the local and the remote address, seven others, the inode.
		fields := strings.Fields(lines.Text())
		if len(fields) > 9 && fields[1] == wanted[0] && fields[2] == wanted[1] {
			return fields[9]
		}
	}
	return ""
}

// kernelAddress returns an address as the kernel lists it.
func kernelAddress(address net.Addr) string {
	parsed, err := netip.ParseAddrPort(address.String())
	if err != nil {
		return ""
	}
	ip := parsed.Addr().Unmap().As4()
	return fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(ip[:]), parsed.Port())
}

func hasSocket(pid int, inode string) bool {
	folder := fmt.Sprintf("/proc/%d/fd", pid)
	files, err := os.ReadDir(folder)
	if err != nil {
		return false
	}
	for _, file := range files {
		if target, err := os.Readlink(folder + "/" + file.Name()); err == nil && target == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}
