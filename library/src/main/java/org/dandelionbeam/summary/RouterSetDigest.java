package org.dandelionbeam.summary;

import java.util.Collection;
import org.apache.commons.codec.digest.MurmurHash3;

/** Digest by which two routers find out whether they know the same set of routers. */
final class RouterSetDigest {
  private static final long HIGH_KEY = 1;
  private static final long LOW_KEY = 2;

  private RouterSetDigest() {}

  /** Returns the digest of a set of router numbers, whatever their order. */
  static long of(Collection<Integer> numbers) {
    long sum = numbers.size();
    for (int number : numbers) {
      sum += hash(number);
    }
    return sum;
  }

  private static long hash(int number) {
    long high = MurmurHash3.hash32(number, HIGH_KEY);
    long low = Integer.toUnsignedLong(MurmurHash3.hash32(number, LOW_KEY));
    return high << Integer.SIZE | low;
  }
}
