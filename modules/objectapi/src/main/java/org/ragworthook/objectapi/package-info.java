/**
 * Clients of the platform, by the conventions of the Kubernetes API: its object API with
 * conditional writes and watches, and its lagging list of instances.
 */
package org.ragworthook.objectapi;
