package org.dandelionbeam.claims;

import java.util.List;

/** Action that {@link ClaimCoordinator} asks its caller to perform. */
public sealed interface ClaimAction {

  /**
   * Read a bucket, and report the result with the same call number.
   *
   * @param bucket number of the bucket
   * @param call number of the call
   */
  record Read(int bucket, long call) implements ClaimAction {}

  /**
   * Write a bucket if its revision is still the expected one, and report the result with the same
   * call number.
   *
   * @param bucket number of the bucket
   * @param call number of the call
   * @param expectedRevision revision that the bucket must have; 0 if it must be absent
   * @param entries the new entries
   */
  record Swap(int bucket, long call, long expectedRevision, List<ClaimEntry> entries)
      implements ClaimAction {}

  /**
   * Pass the result of a claim to its requester.
   *
   * @param claim number of the claim, as given to {@link ClaimCoordinator#claim}
   * @param result result of the claim
   */
  record Answer(long claim, ClaimResult result) implements ClaimAction {}
}
