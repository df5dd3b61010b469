package org.dandelionbeam.dispatch.wiring;

import java.util.Comparator;
import java.util.Map;
import java.util.stream.Collectors;
import org.dandelionbeam.base.ServiceId;
import org.dandelionbeam.base.TeamId;
import org.dandelionbeam.config.Configuration;
import org.dandelionbeam.config.Service;
import org.dandelionbeam.config.Team;

/**
 * Tag values of teams and services in metrics. The teams with the largest weights have their own
 * series, all others share one.
 *
 * @param teams names of the teams that have their own series
 * @param services names of the services
 */
record TeamTags(Map<TeamId, String> teams, Map<ServiceId, String> services) {
  private static final int MAX_NAMED_TEAMS = 40;
  private static final String OTHER = "other";

  static TeamTags of(Configuration configuration) {
    Comparator<Team> heaviestFirst =
        Comparator.comparingDouble((Team team) -> -team.weight()).thenComparing(Team::name);
    Map<TeamId, String> named =
        configuration.teams().stream()
            .sorted(heaviestFirst)
            .limit(MAX_NAMED_TEAMS)
            .collect(Collectors.toUnmodifiableMap(Team::id, Team::name));
    Map<ServiceId, String> services =
        configuration.services().stream()
            .collect(Collectors.toUnmodifiableMap(Service::id, Service::name));
    return new TeamTags(named, services);
  }

  String team(TeamId team) {
    return teams.getOrDefault(team, OTHER);
  }

  String service(ServiceId service) {
    return services.getOrDefault(service, OTHER);
  }
}
