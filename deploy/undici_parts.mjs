// The parts of undici that the bundled gateway uses. The index of undici also
// loads fetch, WebSocket, mocks and caches, a third of the start time.
import api from '../node_modules/undici/lib/api/index.js';
import errors from '../node_modules/undici/lib/core/errors.js';
import Agent from '../node_modules/undici/lib/dispatcher/agent.js';
import Client from '../node_modules/undici/lib/dispatcher/client.js';
import Dispatcher from '../node_modules/undici/lib/dispatcher/dispatcher.js';
import Pool from '../node_modules/undici/lib/dispatcher/pool.js';

// Adds `request` to clients, as the index does.
Object.assign(Dispatcher.prototype, api);

export {Agent, Client, Pool, errors};
