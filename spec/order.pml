/* Orders to an engine (docs/design/orders.md).

   Two processes beside one target, the older one frozen with an order in
   hand while the newer one is started.  With FENCED the engine refuses an
   order whose fencing number is below the highest it has seen; without, the
   rule is that the listening port of the side on the target's instance is
   held by one living process at a time, so that the newer process gives no
   order before the older one is dead.
   Checked: after the newer process's order took effect, no order of the
   older one does.  */

#define NONE 255

byte stored_fence = 0;    /* object in the store, conditional updates */
byte engine_fence = 0;
byte port_holder = NONE;
bool dead[2];
bool newer_in_force = false;
bool harmed = false;

/* The engine takes an order of process P with number F.  */
inline give_order (p, f)
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
         harmed = harmed || (p == 0 && newer_in_force);
         newer_in_force = newer_in_force || p == 1
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
  /* Conditional update of the store's counter; the newer starts later.  */
  atomic { self == 0 || stored_fence > 0 -> stored_fence++;
           fence = stored_fence };
  do
  :: orders < 2 -> give_order (self, fence); orders++
  :: break
  :: orders >= 2 -> break
  od;
  /* The process dies and the kernel frees its port.  */
  atomic {
    dead[self] = true;
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

ltl no_harm { [] !harmed }
