// Command merlinhalld is the merlinhall daemon.
package main

func main() {}
