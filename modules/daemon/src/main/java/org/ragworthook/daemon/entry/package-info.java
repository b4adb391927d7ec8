/**
 * The entry: takes callers' requests and sends them to sidecars.
 */
package org.ragworthook.daemon.entry;
