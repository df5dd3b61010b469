package org.dandelionbeam.daemon.bench;

/**
 * One measured figure.
 *
 * @param name name of the figure, unique in a run
 * @param value measured value
 * @param unit unit of the value
 * @param target bound that the value should keep
 */
public record Figure(String name, double value, String unit, Target target) {

  /**
   * Tells whether the value meets its target.
   *
   * @return true if it does, or if there is no target
   */
  public boolean holds() {
    return target.holds(value);
  }

  /**
   * Bound that a value should keep.
   *
   * @param kind how the value is compared
   * @param bound number that the value is compared with, in the unit of the figure
   */
  public record Target(Kind kind, double bound) {

    /** How a value is compared with its bound. */
    public enum Kind {
      /** At most the bound. */
      AT_MOST {
        @Override
        boolean holds(double value, double bound) {
          return value <= bound;
        }
      },
      /** At least the bound. */
      AT_LEAST {
        @Override
        boolean holds(double value, double bound) {
          return value >= bound;
        }
      },
      /** No bound; the figure is only reported. */
      NONE {
        @Override
        boolean holds(double value, double bound) {
          return true;
        }
      };

      abstract boolean holds(double value, double bound);
    }

    /**
     * Returns an upper bound.
     *
     * @param bound the bound
     * @return the target
     */
    public static Target atMost(double bound) {
      return new Target(Kind.AT_MOST, bound);
    }

    /**
     * Returns a lower bound.
     *
     * @param bound the bound
     * @return the target
     */
    public static Target atLeast(double bound) {
      return new Target(Kind.AT_LEAST, bound);
    }

    /**
     * Returns a target that every value meets.
     *
     * @return the target
     */
    public static Target none() {
      return new Target(Kind.NONE, 0);
    }

    boolean holds(double value) {
      return kind.holds(value, bound);
    }
  }
}
