package org.dandelionbeam.daemon.session;

import org.dandelionbeam.base.ErrorCode;

/** Faults of the matrix: how each is injected, and whether the caller must still get its answer. */
enum MatrixFault {
  CALLER_GONE {
    @Override
    void inject(CellFleet fleet) {
      fleet.closeCaller();
    }

    @Override
    boolean mustBeAnswered(Step step, MatrixKind kind) {
      return false;
    }
  },
  ROUTER_STOPPED {
    @Override
    void inject(CellFleet fleet) {
      fleet.router().closeGate(ErrorCode.STOPPING);
    }

    @Override
    boolean mustBeAnswered(Step step, MatrixKind kind) {
      return Step.PARSE.isBefore(step);
    }
  },
  ROUTER_KILLED {
    @Override
    void inject(CellFleet fleet) {
      fleet.kill();
    }

    @Override
    boolean mustBeAnswered(Step step, MatrixKind kind) {
      return false;
    }
  },
  OWNER_GONE {
    @Override
    void inject(CellFleet fleet) {
      fleet.dispatch().refuse(ErrorCode.OWNER_LOST);
    }

    @Override
    boolean mustBeAnswered(Step step, MatrixKind kind) {
      return Step.QUEUE.isBefore(step);
    }
  },
  PARTITION {
    @Override
    void inject(CellFleet fleet) {
      fleet.dispatch().partition();
    }

    @Override
    boolean mustBeAnswered(Step step, MatrixKind kind) {
      return Step.GRANT.isBefore(step);
    }
  },
  UPSTREAM_REFUSED {
    @Override
    void inject(CellFleet fleet) {
      fleet.proxy().refuse();
    }

    @Override
    boolean mustBeAnswered(Step step, MatrixKind kind) {
      if (kind == MatrixKind.STREAM) {
        return step.isBefore(Step.MID_BODY) || Step.END.isBefore(step);
      }
      return UPSTREAM_RESET.mustBeAnswered(step, kind) || step.isBefore(Step.CONNECT);
    }
  },
  UPSTREAM_RESET {
    @Override
    void inject(CellFleet fleet) {
      fleet.proxy().resetOnce();
    }

    @Override
    boolean mustBeAnswered(Step step, MatrixKind kind) {
      return kind.mayBeRepeated() || Step.END.isBefore(step);
    }
  },
  UPSTREAM_SILENT {
    @Override
    void inject(CellFleet fleet) {
      fleet.proxy().mode(FaultInjectingProxy.Mode.SILENT);
    }

    @Override
    boolean mustBeAnswered(Step step, MatrixKind kind) {
      return Step.END.isBefore(step);
    }
  },
  UPSTREAM_SLOW {
    @Override
    void inject(CellFleet fleet) {
      fleet.proxy().mode(FaultInjectingProxy.Mode.SLOW);
    }

    @Override
    boolean mustBeAnswered(Step step, MatrixKind kind) {
      return true;
    }
  },
  UPSTREAM_LATE {
    @Override
    void inject(CellFleet fleet) {
      fleet.proxy().mode(FaultInjectingProxy.Mode.LATE);
    }

    @Override
    boolean mustBeAnswered(Step step, MatrixKind kind) {
      return Step.END.isBefore(step);
    }
  },
  UPSTREAM_CROSSED {
    @Override
    void inject(CellFleet fleet) {
      fleet.proxy().crossOnce();
    }

    @Override
    boolean mustBeAnswered(Step step, MatrixKind kind) {
      return kind.mayBeRepeated() || Step.FIRST_BYTE.isBefore(step);
    }
  },
  UPSTREAM_COLD {
    @Override
    void inject(CellFleet fleet) {
      fleet.turnCold();
    }

    @Override
    boolean mustBeAnswered(Step step, MatrixKind kind) {
      return true;
    }
  },
  PLATFORM_OUT {
    @Override
    void inject(CellFleet fleet) {
      fleet.claims().unavailable(true);
    }

    @Override
    boolean mustBeAnswered(Step step, MatrixKind kind) {
      return kind != MatrixKind.KEYED || Step.CLAIM.isBefore(step);
    }
  },
  PLATFORM_SLOW {
    @Override
    void inject(CellFleet fleet) {
      fleet.claims().slow(true);
    }

    @Override
    boolean mustBeAnswered(Step step, MatrixKind kind) {
      return true;
    }
  },
  PLATFORM_ANSWER_LOST {
    @Override
    void inject(CellFleet fleet) {
      fleet.claims().loseAnswers(true);
    }

    @Override
    boolean mustBeAnswered(Step step, MatrixKind kind) {
      return PLATFORM_OUT.mustBeAnswered(step, kind);
    }
  };

  /** Injects the fault, which lasts until the fleet is healed. */
  abstract void inject(CellFleet fleet);

  /** Tells whether a request of a kind must be answered although the fault occurred at a step. */
  abstract boolean mustBeAnswered(Step step, MatrixKind kind);

  /** Tells whether the caller may lose its connection without an answer. */
  boolean mayCutTheCaller() {
    return this == CALLER_GONE || this == ROUTER_KILLED;
  }
}
