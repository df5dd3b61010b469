package org.dandelionbeam.standins;

/** State of a VM in the platform's list. */
public enum VmState {
  /** The VM runs. */
  LIVE,
  /** The platform is about to remove the VM. */
  LEAVING,
  /** The VM is no longer listed. */
  GONE
}
