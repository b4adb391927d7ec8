/**
 * The contract in force at every process: operators' calls at entries, slices sent to
 * sidecars, and who acts by which version.
 */
package org.ragworthook.daemon.control;
