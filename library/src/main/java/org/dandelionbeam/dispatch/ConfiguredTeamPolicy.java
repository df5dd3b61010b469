package org.dandelionbeam.dispatch;

import static java.util.Objects.requireNonNull;

import org.dandelionbeam.base.TeamId;
import org.dandelionbeam.config.Configuration;
import org.dandelionbeam.config.Team;

/** Team weights and queue limits of the configuration in force. */
final class ConfiguredTeamPolicy implements TeamPolicy {
  private Configuration configuration;

  ConfiguredTeamPolicy(Configuration configuration) {
    this.configuration = requireNonNull(configuration, "configuration");
  }

  void configurationChanged(Configuration value) {
    configuration = requireNonNull(value, "value");
  }

  @Override
  public double weight(TeamId team) {
    return configuration.team(team).map(Team::weight).orElse(1.0);
  }

  @Override
  public int maxQueued(TeamId team) {
    return configuration.team(team).map(Team::maxQueued).orElse(0);
  }
}
