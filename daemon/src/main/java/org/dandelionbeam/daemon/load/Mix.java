package org.dandelionbeam.daemon.load;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.function.ToIntFunction;
import java.util.random.RandomGenerator;
import org.dandelionbeam.base.ErrorCode;
import org.dandelionbeam.base.FleetException;

/**
 * Mix of teams and kinds of request from which a load is drawn.
 *
 * @param teams teams with their shares of the load
 */
public record Mix(List<MixTeam> teams) {
  private static final ObjectMapper YAML =
      new ObjectMapper(new YAMLFactory()).enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

  /** Copies the list and checks that it is not empty. */
  public Mix {
    teams = teams == null ? List.of() : List.copyOf(teams);
    if (teams.isEmpty()) {
      throw new IllegalArgumentException("teams: expected at least one team");
    }
  }

  /**
   * Reads a mix.
   *
   * @param file a YAML file
   * @return the mix
   * @throws FleetException with code {@code INVALID_SETTING} if the file is not a mix
   */
  public static Mix read(Path file) {
    try {
      return YAML.readValue(file.toFile(), Mix.class);
    } catch (JsonMappingException e) {
      throw new FleetException(ErrorCode.INVALID_SETTING, file + ": " + locationOf(e));
    } catch (IOException e) {
      throw new FleetException(
          ErrorCode.INVALID_SETTING, file + ": the file can't be read as YAML");
    }
  }

  /**
   * Draws the next request.
   *
   * @param id unique id of the request
   * @param random source of random numbers
   * @return the request
   */
  public RequestSpec draw(String id, RandomGenerator random) {
    MixTeam team = pick(teams, MixTeam::share, random);
    MixKind kind = pick(team.kinds(), MixKind::share, random);
    return kind.createRequest(team, id, random);
  }

  private static <T> T pick(List<T> items, ToIntFunction<T> share, RandomGenerator random) {
    int left = random.nextInt(items.stream().mapToInt(share).sum());
    for (T item : items) {
      left -= share.applyAsInt(item);
      if (left < 0) {
        return item;
      }
    }
    throw new IllegalStateException("shares do not add up");
  }

  private static String locationOf(JsonMappingException e) {
    String line = e.getLocation() == null ? "?" : String.valueOf(e.getLocation().getLineNr());
    return "line " + line + ": " + e.getOriginalMessage();
  }
}
