// Command merlinhall is the operators' tool.
package main

func main() {}
