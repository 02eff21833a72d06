import {createStorePosition, type StorePosition} from './store_position.js';

/** How far both parts of the store have been read. */
export interface StorePositions {
  configuration: StorePosition;
  registry: StorePosition;
}

/** Creates the positions of a process that has read nothing. */
export function createStorePositions(): StorePositions {
  return {
    configuration: createStorePosition(),
    registry: createStorePosition(),
  };
}

/** Age of what is known of both parts, in milliseconds. */
export function ageOf(positions: StorePositions, nowMs: number): number {
  const {configuration, registry} = positions;
  return nowMs - Math.min(configuration.freshMs, registry.freshMs);
}
