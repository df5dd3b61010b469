package org.dandelionbeam.dispatch;

/**
 * Reads enum constants by their index in a message; newer nodes may send indexes that this version
 * does not know.
 */
final class EnumIndex {

  private EnumIndex() {}

  /** Returns the constant at an index, or the fallback if the index is out of range. */
  static <T extends Enum<T>> T at(T[] values, int index, T fallback) {
    return index >= 0 && index < values.length ? values[index] : fallback;
  }
}
