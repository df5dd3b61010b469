package org.dandelionbeam.standins;

/**
 * VM as the platform lists it.
 *
 * @param name name of the VM
 * @param host its IP address
 * @param state its state in the list
 */
public record Vm(String name, String host, VmState state) {}
