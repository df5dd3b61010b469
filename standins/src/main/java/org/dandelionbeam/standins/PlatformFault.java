package org.dandelionbeam.standins;

/** Fault that can be injected into the platform stand-in. */
public enum PlatformFault {
  /** The call takes effect, and the response is delayed. */
  SLOW,
  /** The call has no effect and gets no response. */
  SILENT,
  /** The call has no effect and is refused with status 503. */
  REFUSE,
  /** The call takes effect, and the connection closes without a response. */
  LOSE_ANSWER,
  /** A read returns the value before the last write. */
  LAGGING_READ
}
