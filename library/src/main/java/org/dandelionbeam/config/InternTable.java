package org.dandelionbeam.config;

import static java.util.Objects.requireNonNull;

import java.util.Collection;
import java.util.Collections;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalInt;

/**
 * Assigns numeric ids to names; stored together with the configuration.
 *
 * <p>A name keeps its number as long as it stays in the configuration. A number is never reused,
 * not even after its name was removed.
 */
public final class InternTable {
  private final Map<Namespace, Map<String, Integer>> numbers;
  private final Map<Namespace, Integer> next;

  private InternTable(Map<Namespace, Map<String, Integer>> numbers, Map<Namespace, Integer> next) {
    this.numbers = numbers;
    this.next = next;
  }

  /**
   * Returns a table without names.
   *
   * @return the empty table
   */
  public static InternTable empty() {
    return new InternTable(new EnumMap<>(Namespace.class), new EnumMap<>(Namespace.class));
  }

  /**
   * Returns a copy of this table with the numbers of one namespace replaced.
   *
   * @param namespace the namespace
   * @param numbersByName numbers of all names in the namespace
   * @param nextNumber next number to assign, greater than all assigned ones
   * @return the changed copy
   * @throws IllegalArgumentException if a number is negative, not below {@code nextNumber} or used
   *     twice
   */
  public InternTable with(Namespace namespace, Map<String, Integer> numbersByName, int nextNumber) {
    long distinct =
        numbersByName.values().stream()
            .filter(number -> number >= 0 && number < nextNumber)
            .distinct()
            .count();
    if (distinct != numbersByName.size()) {
      throw new IllegalArgumentException(
          "numbers of " + namespace + " are not distinct and below the next number");
    }
    Map<Namespace, Map<String, Integer>> newNumbers = new EnumMap<>(Namespace.class);
    newNumbers.putAll(numbers);
    newNumbers.put(namespace, Collections.unmodifiableMap(new HashMap<>(numbersByName)));
    Map<Namespace, Integer> newNext = new EnumMap<>(Namespace.class);
    newNext.putAll(next);
    newNext.put(namespace, nextNumber);
    return new InternTable(newNumbers, newNext);
  }

  /**
   * Returns a table in which a namespace has exactly the given names: known names keep their
   * numbers, new names get the next free ones.
   *
   * @param namespace the namespace
   * @param names all names of the namespace
   * @return the changed copy
   */
  public InternTable assign(Namespace namespace, Collection<String> names) {
    Map<String, Integer> assigned = new HashMap<>();
    int free = next(namespace);
    for (String name : names) {
      OptionalInt known = number(namespace, requireNonNull(name, "name"));
      if (!assigned.containsKey(name)) {
        assigned.put(name, known.isPresent() ? known.getAsInt() : free++);
      }
    }
    return with(namespace, assigned, free);
  }

  /**
   * Finds the number of a name.
   *
   * @param namespace the namespace
   * @param name the name
   * @return the number, empty if the name has none
   */
  public OptionalInt number(Namespace namespace, String name) {
    Integer number = numbers(namespace).get(name);
    return number == null ? OptionalInt.empty() : OptionalInt.of(number);
  }

  /**
   * Returns the numbers of a namespace.
   *
   * @param namespace the namespace
   * @return an immutable map from name to number, in no particular order
   */
  public Map<String, Integer> numbers(Namespace namespace) {
    return numbers.getOrDefault(namespace, Map.of());
  }

  /**
   * Returns the next free number of a namespace.
   *
   * @param namespace the namespace
   * @return a number that was never assigned
   */
  public int next(Namespace namespace) {
    return next.getOrDefault(namespace, 1);
  }

  /** Kinds of names, each numbered independently of the others. */
  public enum Namespace {
    /** Names of teams. */
    TEAMS("teams"),
    /** Names of services. */
    SERVICES("services"),
    /** Names of upstreams. */
    UPSTREAMS("upstreams"),
    /** Names of models. */
    MODELS("models");

    private final String key;

    Namespace(String key) {
      this.key = key;
    }

    /**
     * Returns the key of the list that defines the names.
     *
     * @return top-level key of the configuration
     */
    public String key() {
      return key;
    }
  }
}
