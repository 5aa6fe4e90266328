// Command gypsumd is the node daemon that runs beside each target instance.
package main

func main() {}
