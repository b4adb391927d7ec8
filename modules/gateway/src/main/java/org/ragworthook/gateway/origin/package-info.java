/**
 * Which software began a stream. A stream that is interrupted continues only at an
 * upstream of the same service and software version.
 */
package org.ragworthook.gateway.origin;
