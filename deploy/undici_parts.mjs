// The parts of undici that the gateway uses, for the bundle. Its index also
// loads fetch, WebSocket, mocks and caches, a third of the time to start.
import api from '../node_modules/undici/lib/api/index.js';
import Agent from '../node_modules/undici/lib/dispatcher/agent.js';
import Client from '../node_modules/undici/lib/dispatcher/client.js';
import Dispatcher from '../node_modules/undici/lib/dispatcher/dispatcher.js';
import Pool from '../node_modules/undici/lib/dispatcher/pool.js';

// The index does the same, so that clients have `request`.
Object.assign(Dispatcher.prototype, api);

export {Agent, Client, Pool};
