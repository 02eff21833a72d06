import {createStorePosition, type StorePosition} from './store_position.js';

/** Read positions of both parts of the store. */
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

/** Age of the older one of both copies, in milliseconds. */
export function ageOf(positions: StorePositions, nowMs: number): number {
  const {configuration, registry} = positions;
  return nowMs - Math.min(configuration.freshMs, registry.freshMs);
}
