/**
 * Tests of the links.
 */
package org.ragworthook.wire.link;
