/**
 * The machines as they are: instances, the failure domains they stand in, and the
 * platform's lagging list of them.
 */
package org.ragworthook.core.fleet;
