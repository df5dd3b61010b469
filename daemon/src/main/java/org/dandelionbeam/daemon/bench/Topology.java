package org.dandelionbeam.daemon.bench;

/** How the engines are divided among the routers of a benchmark. */
enum Topology {
  /** Each engine has one owner among the routers. */
  FLEET {
    @Override
    int owner(int engine, int askingRouter, int routers) {
      return engine % routers;
    }
  },
  /** One router owns all engines and takes all requests, without network. */
  CENTRAL {
    @Override
    int owner(int engine, int askingRouter, int routers) {
      return 0;
    }

    @Override
    int entry(int router) {
      return 0;
    }
  },
  /** Each router uses its part of each engine's slots, apart from the other routers. */
  ALONE {
    @Override
    int owner(int engine, int askingRouter, int routers) {
      return askingRouter;
    }

    @Override
    int window(int slots, int routers) {
      return slots / routers;
    }
  };

  /** Returns the owner of an engine as a router sees it. */
  abstract int owner(int engine, int askingRouter, int routers);

  /** Returns the router that takes the requests sent to a router. */
  int entry(int router) {
    return router;
  }

  /** Returns the slots of an engine that its owner may use. */
  int window(int slots, int routers) {
    return slots;
  }
}
