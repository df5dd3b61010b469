/** The configuration of the fleet: its model, its validation and its rollout to all nodes. */
package org.dandelionbeam.config;
