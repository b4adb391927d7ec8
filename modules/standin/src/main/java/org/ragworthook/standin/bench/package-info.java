/**
 * Benchmarks of parts of the core that need no servers.
 */
package org.ragworthook.standin.bench;
