package org.dandelionbeam.daemon.session;

import static org.testng.Assert.assertEquals;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Injects each fault at each step of each kind of request. Guards against a caller that gets no
 * answer, the answer of another request, or a verdict that the upstreams' counts contradict, and
 * against requests and slots that stay open.
 */
public class FaultMatrixTest {
  private static final int THREADS = 4;
  private static final Path TABLE = Path.of("../docs/fault-matrix.md");

  private final Map<Cell, CellResult> results = Collections.synchronizedMap(new LinkedHashMap<>());

  @BeforeClass
  public void runAllCells() throws InterruptedException {
    EventLoopGroup proxyLoops = new MultiThreadIoEventLoopGroup(THREADS, NioIoHandler.newFactory());
    ExecutorService threads = Executors.newFixedThreadPool(THREADS);
    allCells()
        .forEach(c -> threads.execute(() -> results.put(c, CellRun.run(c, proxyLoops.next()))));
    threads.shutdown();
    threads.awaitTermination(5, TimeUnit.MINUTES);
    proxyLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  @DataProvider
  Object[][] cells() {
    return allCells().stream().map(cell -> new Object[] {cell}).toArray(Object[][]::new);
  }

  @Test(dataProvider = "cells")
  public void callerGetsItsAnswerOrATrueVerdictUnderEveryFault(Cell cell) {
    assertEquals(String.join("\n", results.get(cell).violations()), "");
  }

  @Test(dependsOnMethods = "callerGetsItsAnswerOrATrueVerdictUnderEveryFault")
  public void tableMatchesTheCommittedPage() throws IOException {
    GoldenFile.compare(TABLE, MatrixTable.of(results));
  }

  private static List<Cell> allCells() {
    List<Cell> cells = new ArrayList<>();
    for (MatrixKind kind : MatrixKind.values()) {
      for (MatrixFault fault : MatrixFault.values()) {
        for (Step step : Step.values()) {
          cells.add(new Cell(step, fault, kind));
        }
      }
    }
    return cells;
  }
}
