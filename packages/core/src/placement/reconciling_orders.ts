import type {EngineView} from './engine_view.js';
import {modelKey} from './model_key.js';
import type {ModelPlan} from './model_plan.js';
import type {EngineOrder} from './orders/engine_order.js';
import {ROLE_OF_EVERY_ENGINE} from './role_of_every_engine.js';

/**
 * Orders that bring an engine from its reported to its planned state. No
 * state is kept between rounds, so a later round corrects a lost, late or
 * repeated order. Models without a row are ignored.
 */
export function reconcilingOrders(
  view: EngineView,
  plans: ModelPlan[],
): EngineOrder[] {
  const {report, row} = view;
  if (!report) return [];
  const orders: EngineOrder[] = [];
  const planned = plans.filter(({engines}) => engines.includes(row.name));
  for (const {row: model} of planned) {
    const {name, version} = model;
    if (!report.models.includes(modelKey(name, version))) {
      orders.push({kind: 'load_model', model: name, version});
      continue;
    }
    for (const adapter of model.adapters) {
      if (report.adapters?.includes(`${name}/${adapter}`)) continue;
      orders.push({kind: 'load_adapter', model: name, adapter});
    }
  }
  if (planned.length > 0 && report.role !== ROLE_OF_EVERY_ENGINE) {
    orders.push({kind: 'set_role', role: ROLE_OF_EVERY_ENGINE});
  }
  for (const key of report.models) {
    const [model = '', version = ''] = key.split('@');
    const plan = plans.find(candidate => candidate.row.name === model);
    if (!plan) continue;
    if (planned.includes(plan) && plan.row.version === version) continue;
    orders.push({kind: 'unload_model', model, version});
  }
  return orders;
}
