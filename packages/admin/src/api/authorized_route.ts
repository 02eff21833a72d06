import {bearerKeyHash} from '@wisterialadder/runtime/http/bearer_key_hash.js';
import type {HttpRoute} from '@wisterialadder/runtime/http/http_route.js';
import {permits, type Permission} from '../auth/permission.js';
import type {AuthorizedRequest} from './authorized_request.js';
import type {ApiContext} from './api_context.js';
import {sendError} from './send_error.js';

/** Builds a route that authenticates the caller and checks a permission. */
export function authorizedRoute(
  ctx: ApiContext,
  permission: Permission,
  method: string,
  path: RegExp,
  handler: (request: AuthorizedRequest) => void | Promise<void>,
): HttpRoute {
  return {
    method,
    path,
    handler: (req, res, match) => {
      const operator = ctx.operators.find(bearerKeyHash(req));
      if (!operator) {
        ctx.logger.write('WL7003', {reason: 'unknown_key', method});
        res.setHeader('www-authenticate', 'Bearer');
        sendError(res, {
          code: 'not_authenticated',
          message: 'send a known key as "authorization: Bearer KEY"',
        });
        return;
      }
      if (permits(operator.role, permission)) {
        return handler({req, res, match, operator});
      }
      const {name, role} = operator;
      ctx.logger.write('WL7003', {reason: 'role', operator: name, method});
      sendError(res, {
        code: 'not_permitted',
        message: `role ${role} may not ${permission}; ask an administrator`,
      });
    },
  };
}
