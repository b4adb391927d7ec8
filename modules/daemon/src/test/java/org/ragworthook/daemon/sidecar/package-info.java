/**
 * Tests of what a sidecar reads from its engine beside answers.
 */
package org.ragworthook.daemon.sidecar;
