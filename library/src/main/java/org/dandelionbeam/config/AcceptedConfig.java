package org.dandelionbeam.config;

/**
 * Configuration in force on this node, with its stored form.
 *
 * @param revision revision of the configuration key in the platform store
 * @param stored stored form; must not be modified
 * @param configuration the configuration that the stored form decodes to
 */
record AcceptedConfig(long revision, byte[] stored, Configuration configuration) {}
