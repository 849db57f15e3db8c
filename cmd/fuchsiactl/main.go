// Command fuchsiactl is the operators' tool.
package main

func main() {}
