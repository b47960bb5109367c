/* Orders to an engine (docs/design/orders.md).

   Two side processes run at one target: the older one was frozen with an order
   not yet sent, and the newer one was started in its place.  With FENCED, the
   engine rejects an order whose fencing number is below the highest it has
   accepted.  Without FENCED, only one live process at a time can hold the
   side's listening port on the target's instance, so the newer process sends
   no order before the older one has exited.

   Property:  no_harm  after an order of the newer process took effect, no
                       order of the older process does
   That is, no stale order does harm.  Each BROKEN_* macro removes one rule; the
   checker must then report a violation.  */

#define NONE 255

byte stored_fence = 0;    /* object in the store, updated conditionally */
byte engine_fence = 0;    /* highest fencing number the engine has accepted */
byte port_holder = NONE;
bool exited[2];
bool newer_took_effect = false;
bool older_after_newer = false;

/* Process P sends an order with fencing number F to the engine.  */
inline send_order (p, f)
{
  atomic {
    if
#ifdef FENCED
#ifndef BROKEN_FENCE
    :: f < engine_fence -> skip
#endif
#endif
    :: else ->
         engine_fence = f;
         older_after_newer = older_after_newer || (p == 0 && newer_took_effect);
         newer_took_effect = newer_took_effect || p == 1
    fi
  }
}

proctype side (byte self)
{
  byte fence;
  byte orders = 0;

#ifndef FENCED
#ifndef BROKEN_PORT
  atomic { port_holder == NONE -> port_holder = self };
#endif
#endif
  /* Conditional update of the store's counter; the newer process starts
     later.  */
  atomic { self == 0 || stored_fence > 0 -> stored_fence++;
           fence = stored_fence };
  do
  :: orders < 2 -> send_order (self, fence); orders++
  :: break
  :: orders >= 2 -> break
  od;
  /* The process exits and the kernel closes its port.  */
  atomic {
    exited[self] = true;
    if
    :: port_holder == self -> port_holder = NONE
    :: else -> skip
    fi
  }
}

init
{
  atomic { run side (0); run side (1) }
}

ltl no_harm { [] !older_after_newer }
